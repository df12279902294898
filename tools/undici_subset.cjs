// The parts of undici that the program uses; its index loads fetch, WebSocket and caches too, eleven megabytes of memory.
module.exports = {
  Agent: require("../node_modules/undici/lib/dispatcher/agent.js"),
  Client: require("../node_modules/undici/lib/dispatcher/client.js"),
  buildConnector: require("../node_modules/undici/lib/core/connect.js"),
  request: request,
};

const api = require("../node_modules/undici/lib/api/api-request.js");

/** As undici's own `request`; without a dispatcher it makes one. */
function request(url, options = {}) {
  const { origin, pathname, search } = new URL(url);
  return api.call(options.dispatcher ?? new module.exports.Agent(), {
    ...options,
    origin,
    path: pathname + search,
    method: options.method ?? (options.body ? "PUT" : "GET"),
  });
}
