/** Another host that may open connections to upstreams on behalf of this one. */
export interface RelayHost {
  id: string;
  /** Hash that identifies the host in messages between hosts. */
  name: number;
  /** Address at which it serves other hosts, as ip:port. */
  peerAddress: string;
  hall: string;
  /** Whether it has lost its own paths to all upstreams of a service, though maybe not of the one in question. */
  isPartitioned: boolean;
}
