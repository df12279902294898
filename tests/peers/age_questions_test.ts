import test from "ava";
import {
  AgeQuestions,
  type AgeQuestionsOptions,
} from "../../src/peers/age_questions.ts";
import type { PublicationWord } from "../../src/peers/publication_word.ts";
import { type TestSocket, withSockets } from "./with_sockets.ts";

const WORD: PublicationWord = { digest: 5, revision: 6, publicationAgeMs: 321 };

/** Starts the questions of a host that knows no other; by default it asks nobody. */
function startQuestions(
  { socket }: TestSocket,
  options: Partial<AgeQuestionsOptions>,
): AgeQuestions {
  return AgeQuestions.create({
    socket,
    getSources: () => [],
    getWord: () => WORD,
    onWord: () => undefined,
    ...options,
  });
}

test("a host that asks another is told the age of what that knows, by its own clock", async (t) => {
  await withSockets(2, async ([source, asking]) => {
    const startedAt = performance.now();
    const answering = startQuestions(source!, {});
    await new Promise<void>((resolve) => {
      const questions = startQuestions(asking!, {
        getSources: () => [source!.address],
        onWord: (sender, word, askedAt) => {
          t.is(sender, source!.address);
          t.deepEqual(word, WORD);
          t.true(askedAt >= startedAt && askedAt <= performance.now());
          questions.close();
          resolve();
        },
      });
    });
    answering.close();
  });
});

test("an answer to a question that this host's clock has not reached is left out", async (t) => {
  await withSockets(2, async ([forger, asking]) => {
    const taken: number[] = [];
    const questions = startQuestions(asking!, {
      onWord: (_sender, _word, askedAt) => taken.push(askedAt),
    });
    const later = performance.now() + 1e9;
    for (const askedAt of [later, 1]) {
      const answer = {
        type: "age_answer",
        askedAt,
        word: WORD,
      } as const;
      forger!.socket.send(asking!.address, answer);
    }
    while (taken.length === 0) await new Promise(setImmediate);
    t.deepEqual(taken, [1]);
    questions.close();
  });
});
