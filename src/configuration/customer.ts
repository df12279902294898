/** A customer's effective configuration: the parameters of its template, overridden by its own. */
export interface Customer {
  /** `<partner>/<name>`. */
  id: string;
  partner: string;
  models: readonly string[];
  adapters: readonly string[];
  services: readonly string[];
  /** From 0 (lowest) to 9 (highest). */
  priority: number;
  /** Share of the pooled capacity, greater than 0 and at most 1. */
  capacityShare: number;
}
