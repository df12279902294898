import {
  processTimeline,
  type StopTimer,
  type Timeline,
} from "../clock/timeline.ts";
import type { DatagramPort } from "./datagram_socket.ts";
import { HOST_PHASES, type PeerEntry } from "./gossip_schema.ts";
import type { HostTable } from "./host_table.ts";
import type { PublicationWord } from "./publication_word.ts";

/** Time between two questions, in milliseconds; what is known looks older by at most as much, which the age at which other
 * hosts help to watch has room for. */
const QUESTION_INTERVAL_MS = 600;

/** Hosts named in one answer, so that it fits into one packet. */
const MAX_SIGHTINGS = 120;

/** Hosts whose entries are asked for at a time, so that they fit into one packet. */
const MAX_UNKNOWN = 10;

/** What the questions need. */
export interface AgeQuestionsOptions {
  socket: DatagramPort;
  /** Gossip addresses of the hosts to ask, one in turn; none where this host need not ask. */
  getSources: () => readonly string[];
  /** Gossip addresses of the hosts to ask every time, so that watchers share whom they heard. */
  getPartners: () => readonly string[];
  /** What this host knows of the publication. */
  getWord: () => PublicationWord;
  /** Phase of this host. */
  getPhase: () => PeerEntry["phase"];
  /** The other hosts; questions and answers tell whom to take for live. */
  hosts: HostTable;
  /** Tells a host what others tell of themselves.
   * @param asker The host, by its gossip address.
   * @param names Short names of the others. */
  tellEntries: (asker: string, names: readonly number[]) => void;
  /** Told what a host answered to a question that was sent at `askedAt`. */
  onWord: (sender: string, word: PublicationWord, askedAt: number) => void;
  /** The process's by default. */
  timeline?: Timeline;
}

/** Asks hosts how old what they know of the publication is and whom they heard, and answers others. Ages are counted from
 * the question, by the asking host's own clock, so that no late datagram makes anything look newer than it is. */
export class AgeQuestions {
  private readonly timeline: Timeline;
  private readonly stopAsking: StopTimer;
  private asked = 0;
  private unknown: readonly number[] = [];

  private constructor(private readonly options: AgeQuestionsOptions) {
    const { socket, hosts, timeline = processTimeline } = options;
    this.timeline = timeline;
    socket.handle("age_question", ({ askedAt, phase, unknown }, sender) => {
      hosts.noteHeard(sender, phase, timeline.read());
      this.answer(sender, askedAt);
      if (unknown.length > 0) options.tellEntries(sender, unknown);
    });
    socket.handle("age_answer", (answer, sender) => {
      const now = timeline.read();
      if (answer.askedAt > now) return;
      hosts.noteHeard(sender, undefined, now);
      this.unknown = hosts.takeSightings(answer.hosts, answer.askedAt);
      options.onWord(sender, answer.word, answer.askedAt);
    });
    this.stopAsking = timeline.every(QUESTION_INTERVAL_MS, () => this.ask());
  }

  /** Starts asking and answering.
   * @param options What it needs. */
  static create(options: AgeQuestionsOptions): AgeQuestions {
    return new AgeQuestions(options);
  }

  /** Stops asking. */
  close(): void {
    this.stopAsking();
  }

  private ask(): void {
    const { getSources, getPartners } = this.options;
    for (const partner of getPartners()) this.askOne(partner);
    const sources = getSources();
    if (sources.length === 0) return;
    this.asked += 1;
    this.askOne(sources[this.asked % sources.length]!);
  }

  private askOne(address: string): void {
    const askedAt = this.timeline.read();
    const phase = HOST_PHASES.indexOf(this.options.getPhase());
    const unknown = this.unknown.slice(0, MAX_UNKNOWN);
    this.options.socket.send(address, {
      type: "age_question",
      askedAt,
      phase,
      unknown,
    });
  }

  private answer(asker: string, askedAt: number): void {
    const { socket, hosts, getWord } = this.options;
    socket.send(asker, {
      type: "age_answer",
      askedAt,
      word: getWord(),
      hosts: hosts.getSightings(MAX_SIGHTINGS, this.timeline.read()),
    });
  }
}
