import test from "ava";
import { classifyFailures } from "../../tools/known_red.ts";

const LIST = "# comment\na › listed test | cause | 8\n";

test("only failures of listed tests are classified as known", (t) => {
  const output = '  ✘ [fail]: a › listed test {"x":1}\n  ✘ [fail]: b › other\n';
  t.deepEqual(classifyFailures(output, LIST), {
    known: ["a › listed test"],
    unknown: ["✘ [fail]: b › other"],
  });
});

test("an early exit of a test file, an uncaught error, a timeout or empty output is an unknown failure", (t) => {
  const listedFailure = "  ✘ [fail]: a › listed test\n";
  for (
    const failure of [
      "  ✘ tests/x_test.ts exited with a non-zero exit code: 1",
      "  Uncaught exception in tests/x_test.ts",
      "  ✘ Timed out while running tests",
    ]
  ) {
    t.is(
      classifyFailures(`${listedFailure}${failure}\n`, LIST).unknown.length,
      1,
      failure,
    );
  }
  t.is(classifyFailures("", LIST).unknown.length, 1);
});
