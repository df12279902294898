/** Body of all responses. */
export const WHOLE_BODY = "0123456789abcdef";

function buildHead(status: string, fields: readonly string[]): string {
  return `HTTP/1.1 ${status}\r\n${fields.join("\r\n")}\r\n\r\n`;
}

function toChunks(trailers: string): string {
  const [first, second] = [WHOLE_BODY.slice(0, 10), WHOLE_BODY.slice(10)];
  return `a;x=1\r\n${first}\r\n6\r\n${second}\r\n0\r\n${trailers}\r\n`;
}

/** Builds complete responses that frame the same body differently, by their form.
 * @param fields Header fields of each response, without those that frame its body. */
export function buildResponseForms(
  fields: readonly string[],
): Record<string, string> {
  const chunked = [...fields, "Transfer-Encoding: chunked"];
  const sized = [...fields, `Content-Length: ${WHOLE_BODY.length}`];
  const close = "Connection: close";
  const hints = buildHead("103 Early Hints", ["Link: </a>"]);
  return {
    "a length": buildHead("200 OK", sized) + WHOLE_BODY,
    "a length, on a closing connection":
      buildHead("200 OK", [...sized, close]) + WHOLE_BODY,
    "chunks": buildHead("200 OK", chunked) + toChunks(""),
    "chunks, on a closing connection":
      buildHead("200 OK", [...chunked, close]) + toChunks(""),
    "chunks and trailers, on a closing connection":
      buildHead("200 OK", [...chunked, close]) + toChunks("X-End: 1\r\n"),
    "an interim response before it": hints + buildHead("200 OK", sized) +
      WHOLE_BODY,
  };
}
