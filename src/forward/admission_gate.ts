import type { UpstreamChoice } from "../upstreams/choose_upstream.ts";
import type { CallWait, EarlyRefusal } from "./call_admission.ts";
import type { UpstreamAccess } from "./call_forwarder_context.ts";
import type { RoutedCall } from "./routed_call.ts";
import type { UpstreamPicker } from "./upstream_picker.ts";

/** Dependencies and callbacks of an {@link AdmissionGate}. */
export interface AdmissionGateOptions {
  call: RoutedCall;
  access: UpstreamAccess;
  picker: UpstreamPicker;
  /** Called when a call that had to wait may be sent. */
  onAdmitted: () => void;
  /** Called when the call is refused before it is sent. */
  onRefused: (refusal: EarlyRefusal) => void;
}

/** Holds a call back before its first attempt until it is admitted. */
export class AdmissionGate {
  private isAdmitted = false;
  private wait: CallWait | undefined;

  private constructor(private readonly options: AdmissionGateOptions) {}

  /** Creates the gate of a call that has not been sent.
   * @param options Its dependencies and callbacks. */
  static create(options: AdmissionGateOptions): AdmissionGate {
    return new AdmissionGate(options);
  }

  /** Returns whether the call may be sent now. If not, one of the callbacks follows, or has been called already.
   * @param choice The upstream to which it would be sent. */
  admits(choice: UpstreamChoice): boolean {
    if (this.isAdmitted) return true;
    const { call, access, picker, onRefused } = this.options;
    const admission = access.admit(call, choice, () => picker.pick());
    this.isAdmitted = admission.type === "start";
    if (admission.type === "refuse") onRefused(admission);
    if (admission.type === "wait") void this.follow(admission);
    return this.isAdmitted;
  }

  /** Ends the wait, if there is one. */
  close(): void {
    this.wait?.leave();
    this.wait = undefined;
  }

  private async follow(wait: CallWait): Promise<void> {
    this.wait = wait;
    const result = await wait.result;
    if (this.wait !== wait) return;
    this.wait = undefined;
    this.isAdmitted = result.type === "start";
    if (result.type === "refuse") this.options.onRefused(result);
    else this.options.onAdmitted();
  }
}
