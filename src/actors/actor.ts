import { dispatch, type Ref, spawn, start, stop } from "nact";
import type { Logger } from "../logging/logger.ts";

/** Message types of an actor, each with the type of its payload. */
export type MessageMap = Record<string, unknown>;

/** One handler per message type. */
export type Handlers<M extends MessageMap> = {
  [K in keyof M]: (payload: M[K]) => void | Promise<void>;
};

type ActorSystem = ReturnType<typeof start>;
interface Envelope {
  type: PropertyKey;
  payload: unknown;
}

/** A nact actor defined by a table of message handlers. An exception in a handler is logged, and the actor continues
 * with the next message. */
export class Actor<M extends MessageMap> {
  private constructor(private readonly reference: Ref<Envelope>) {}

  /** Spawns an actor.
   * @param system The actor system.
   * @param name Unique name of the actor.
   * @param handlers One handler per message type.
   * @param logger Logger for exceptions of handlers. */
  static create<M extends MessageMap>(
    system: ActorSystem,
    name: string,
    handlers: Handlers<M>,
    logger: Logger,
  ): Actor<M> {
    const receive = async (state: null, message: Envelope): Promise<null> => {
      try {
        await handlers[message.type as keyof M](message.payload as M[keyof M]);
      } catch (error) {
        logger.error({
          actor: name,
          message: String(message.type),
          reason: String(error),
        }, "handler_failed");
      }
      return state;
    };
    return new Actor<M>(
      spawn(system, receive, name, { initialState: null }) as Ref<Envelope>,
    );
  }

  /** Sends a message; messages are handled in the order in which they were sent.
   * @param type The message type.
   * @param payload Payload of the message. */
  tell<K extends keyof M>(type: K, payload: M[K]): void {
    dispatch(this.reference, { type, payload });
  }

  /** Stops the actor; queued messages are dropped. */
  close(): void {
    stop(this.reference);
  }
}

/** Starts an actor system for one router. */
export function startActorSystem(): ActorSystem {
  return start();
}

/** Stops an actor system and all its actors.
 * @param system The actor system. */
export function stopActorSystem(system: ActorSystem): void {
  stop(system);
}

export type { ActorSystem };
