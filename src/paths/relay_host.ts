/** Another host that may open connections to upstreams on behalf of this one. */
export interface RelayHost {
  id: string;
  /** Hash that identifies the host in messages between hosts. */
  name: number;
  /** Address at which it serves other hosts, as ip:port. */
  peerAddress: string;
  hall: string;
}
