import test from "ava";
import { classifyFailures } from "../../tools/known_red.ts";

const LIST = "# comment\na › listed test | cause | 8\n";

test("a run passes over listed tests only", (t) => {
  const both = '  ✘ [fail]: a › listed test {"x":1}\n  ✘ [fail]: b › other\n';
  t.deepEqual(classifyFailures(both, LIST), {
    known: ["a › listed test"],
    unknown: ["✘ [fail]: b › other"],
  });
});

test("a file that ends by itself, an error nobody caught or no name at all is not passed over", (t) => {
  const listed = "  ✘ [fail]: a › listed test\n";
  for (
    const trouble of [
      "  ✘ tests/x_test.ts exited with a non-zero exit code: 1",
      "  Uncaught exception in tests/x_test.ts",
      "  ✘ Timed out while running tests",
    ]
  ) {
    t.is(
      classifyFailures(`${listed}${trouble}\n`, LIST).unknown.length,
      1,
      trouble,
    );
  }
  t.is(classifyFailures("", LIST).unknown.length, 1);
});
