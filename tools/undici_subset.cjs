// The parts of undici that the program uses. The package's index also loads fetch, WebSocket and caches, which takes
// 11 MB of memory.
module.exports = {
  Agent: require("../node_modules/undici/lib/dispatcher/agent.js"),
  Client: require("../node_modules/undici/lib/dispatcher/client.js"),
  buildConnector: require("../node_modules/undici/lib/core/connect.js"),
  request: request,
};

const api = require("../node_modules/undici/lib/api/api-request.js");

/** Equivalent of undici's `request`; creates an agent if no dispatcher is given. */
function request(url, options = {}) {
  const { origin, pathname, search } = new URL(url);
  return api.call(options.dispatcher ?? new module.exports.Agent(), {
    ...options,
    origin,
    path: pathname + search,
    method: options.method ?? (options.body ? "PUT" : "GET"),
  });
}
