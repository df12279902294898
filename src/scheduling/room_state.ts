/** How much room the upstreams of a service have, as the hosts tell each other. */
export const ROOM_STATES = ["free", "tight", "exhausted"] as const;

/** `free`: requests start without waiting; `tight`: requests wait, but meet their objectives; `exhausted`: some requests
 * cannot meet their objectives, so that work which may be left out gives way. */
export type RoomState = typeof ROOM_STATES[number];
