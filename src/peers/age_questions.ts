import type { DatagramSocket } from "./datagram_socket.ts";
import type { PublicationWord } from "./publication_word.ts";

/** Time between two questions, in milliseconds; what is known looks older by at most as much. */
const QUESTION_INTERVAL_MS = 400;

/** What the questions need. */
export interface AgeQuestionsOptions {
  socket: DatagramSocket;
  /** Gossip addresses of the hosts to ask, one in turn; none where this host need not ask. */
  getSources: () => readonly string[];
  /** What this host knows of the publication. */
  getWord: () => PublicationWord;
  /** Told what a host answered to a question that was sent at `askedAt`. */
  onWord: (sender: string, word: PublicationWord, askedAt: number) => void;
}

/** Asks hosts how old what they know of the publication is, and answers others. The age is counted from the question,
 * by the asking host's own clock, so that no late datagram makes anything look newer than it is. */
export class AgeQuestions {
  private readonly timer: NodeJS.Timeout;
  private asked = 0;

  private constructor(private readonly options: AgeQuestionsOptions) {
    const { socket, getWord, onWord } = options;
    socket.handle("age_question", ({ askedAt }, sender) => {
      socket.send(sender, { type: "age_answer", askedAt, word: getWord() });
    });
    socket.handle("age_answer", ({ askedAt, word }, sender) => {
      if (askedAt <= performance.now()) onWord(sender, word, askedAt);
    });
    this.timer = setInterval(() => this.ask(), QUESTION_INTERVAL_MS);
  }

  /** Starts asking and answering.
   * @param options What it needs. */
  static create(options: AgeQuestionsOptions): AgeQuestions {
    return new AgeQuestions(options);
  }

  /** Stops asking. */
  close(): void {
    clearInterval(this.timer);
  }

  private ask(): void {
    const sources = this.options.getSources();
    if (sources.length === 0) return;
    this.asked += 1;
    const source = sources[this.asked % sources.length]!;
    const askedAt = performance.now();
    this.options.socket.send(source, { type: "age_question", askedAt });
  }
}
