/** Limits on responses; a response that exceeds one is not from a sound sender. */

/** Maximum size of a response body that is held in memory until it is complete, in bytes. */
export const MAX_BODY_BYTES = 4 * 1024 * 1024;
/** Maximum size of a stream that is forwarded event by event, in bytes. */
export const MAX_STREAM_BYTES = 16 * 1024 * 1024;
/** Maximum size of one event of a stream, in bytes. */
export const MAX_EVENT_BYTES = 256 * 1024;
/** Maximum number of events of a stream; larger than the number of tokens of any response. */
export const MAX_STREAM_EVENTS = 65_536;
/** Maximum size of all that a response contains besides its body, in bytes: heads, chunk framing and trailers. Framing
 * may in addition be as large as the body. */
export const MAX_OVERHEAD_BYTES = 256 * 1024;
/** Maximum number of interim responses before a response. */
export const MAX_INTERIM_RESPONSES = 16;
/** Maximum size of all incomplete bodies and events that a process holds in memory, in bytes. */
export const MAX_HELD_BYTES = 8 * 1024 * 1024;
/** Maximum size of a response from another host or from the platform, in bytes. */
export const MAX_SYSTEM_RESPONSE_BYTES = 32 * 1024 * 1024;
