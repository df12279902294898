/** A customer as it is in force: its template with its own parameters over it. */
export interface Customer {
  /** `<partner>/<name>`. */
  id: string;
  partner: string;
  models: readonly string[];
  adapters: readonly string[];
  services: readonly string[];
  /** 0 is the least urgent. */
  priority: number;
  /** Part of the pooled capacity, between 0 and 1. */
  capacityShare: number;
}
