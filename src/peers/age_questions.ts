import {
  processTimeline,
  type StopTimer,
  type Timeline,
} from "../clock/timeline.ts";
import type { DatagramPort } from "./datagram_socket.ts";
import type { PublicationWord } from "./publication_word.ts";

/** Time between two questions, in milliseconds; what is known looks older by at most as much, which the age at which other
 * hosts help to watch has room for. */
const QUESTION_INTERVAL_MS = 600;

/** What the questions need. */
export interface AgeQuestionsOptions {
  socket: DatagramPort;
  /** Gossip addresses of the hosts to ask, one in turn; none where this host need not ask. */
  getSources: () => readonly string[];
  /** What this host knows of the publication. */
  getWord: () => PublicationWord;
  /** Told what a host answered to a question that was sent at `askedAt`. */
  onWord: (sender: string, word: PublicationWord, askedAt: number) => void;
  /** The process's by default. */
  timeline?: Timeline;
}

/** Asks hosts how old what they know of the publication is, and answers others. Ages are counted from the question, by the
 * asking host's own clock, so that no late datagram makes anything look newer than it is. */
export class AgeQuestions {
  private readonly timeline: Timeline;
  private readonly stopAsking: StopTimer;
  private asked = 0;

  private constructor(private readonly options: AgeQuestionsOptions) {
    const { socket, getWord, timeline = processTimeline } = options;
    this.timeline = timeline;
    socket.handle("age_question", ({ askedAt }, sender) => {
      socket.send(sender, { type: "age_answer", askedAt, word: getWord() });
    });
    socket.handle("age_answer", (answer, sender) => {
      if (answer.askedAt > timeline.read()) return;
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
    const sources = this.options.getSources();
    if (sources.length === 0) return;
    this.asked += 1;
    const address = sources[this.asked % sources.length]!;
    const askedAt = this.timeline.read();
    this.options.socket.send(address, { type: "age_question", askedAt });
  }
}
