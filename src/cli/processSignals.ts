import { SignalMeaning } from "./signalMeaning";

/** Signals whose default action ends a process. SIGQUIT, SIGXCPU, what profilers use and what reports faults of the program keep it. */
const meanings: readonly (readonly [NodeJS.Signals, SignalMeaning])[] = [
    ["SIGHUP", SignalMeaning.Reload],
    ["SIGTERM", SignalMeaning.Stop],
    ["SIGINT", SignalMeaning.Stop],
    ["SIGUSR2", SignalMeaning.None],
    ["SIGALRM", SignalMeaning.None],
    ["SIGVTALRM", SignalMeaning.None],
    ["SIGIO", SignalMeaning.None],
    ["SIGPWR", SignalMeaning.None],
    ["SIGSTKFLT", SignalMeaning.None],
];

type Handler = (signal: NodeJS.Signals) => void;

/** The signals that reach a process; those that arrive before their handler is set are kept for it. */
export class ProcessSignals {
    private readonly handlers = new Map<SignalMeaning, Handler>();
    private readonly pending = new Map<NodeJS.Signals, SignalMeaning>();
    private isListening = false;

    private constructor() {}

    /** Creates an instance that leaves all signals their default actions. */
    static create(): ProcessSignals {
        return new ProcessSignals();
    }

    /** Replaces the default actions from now on; further calls have no effect. */
    listen(emitter: Pick<NodeJS.Process, "on"> = process): void {
        if (this.isListening) {
            return;
        }
        this.isListening = true;
        meanings.forEach(([signal, meaning]) => emitter.on(signal, () => this.deliver(signal, meaning)));
    }

    /** Sets the handler for the signals of a meaning, and calls it once for each that has already arrived. */
    handle(meaning: SignalMeaning, handler: Handler): void {
        this.handlers.set(meaning, handler);
        const arrived = [...this.pending].filter(([, pendingMeaning]) => pendingMeaning === meaning);
        arrived.forEach(([signal]) => {
            this.pending.delete(signal);
            handler(signal);
        });
    }

    private deliver(signal: NodeJS.Signals, meaning: SignalMeaning): void {
        const handler = this.handlers.get(meaning);
        if (handler) {
            handler(signal);
        }
        else {
            this.pending.set(signal, meaning);
        }
    }
}
