/** Base of targets that contain only a path. */
const BASE_URL = "http://host";

/** Parses the target of a request, which may be any text; a malformed one gives the root path.
 * @param target Target as received. */
export function parseRequestTarget(target = "/"): URL {
  // A path that starts with two slashes would be parsed as a host.
  const text = target.startsWith("/") ? `${BASE_URL}${target}` : target;
  return URL.canParse(text, BASE_URL)
    ? new URL(text, BASE_URL)
    : new URL(BASE_URL);
}
