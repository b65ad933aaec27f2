import type { PlatformNodeSettings } from "../types/platformNodeSettings";
import { PlatformNode } from "./platformNode";

/** The node of a process. While its start waits for ports, the settings may name another ID or other addresses: a node with these then replaces it. */
export class PlatformNodeRun {
    private isStopping = false;

    private constructor(private node: PlatformNode) {}

    /** Creates a run that has not started; `unexpectedErrors` counts the errors that no handler caught. */
    static create(settings: PlatformNodeSettings, unexpectedErrors: () => number): PlatformNodeRun {
        return new PlatformNodeRun(PlatformNode.create(settings, unexpectedErrors));
    }

    /** Starts the node; resolves once it has started or was stopped before. */
    async start(onUnable: () => void): Promise<void> {
        while (!await this.node.start(onUnable) && !this.isStopping) {
            this.node = this.node.renew();
        }
    }

    /** Applies reloaded settings. */
    reload(settings: PlatformNodeSettings): void {
        this.node.reload(settings);
    }

    /** Stops the node gracefully, also while it starts. Returns the number of requests cut off. */
    stop(): Promise<number> {
        this.isStopping = true;
        return this.node.stop();
    }
}
