/** Whether response headers give the length of the body or state that it is sent in chunks. Any other body ends with
 * its connection.
 * @param headers Headers by lower-case name. */
export function isFramed(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): boolean {
  return headers["content-length"] !== undefined ||
    headers["transfer-encoding"] !== undefined;
}
