/** Settings of a router that name no more than they have to; nothing listens at their ports. */
export const MINIMAL_SETTINGS = {
  id: "r1",
  partner: "kilima",
  region: "dar",
  hall: "temeke",
  http: { port: 1 },
  peer: { port: 2 },
  platform: { url: "http://127.0.0.1:3" },
  fleetSecret: "sixteen characters",
};
