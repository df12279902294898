/** Router settings with only the required fields; nothing listens on their ports. */
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
