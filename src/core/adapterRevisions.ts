import type { AdapterChanges } from "../types/placement";

interface Entry {
    readonly revision: number;
    readonly adapters: readonly string[];
}

/** The adapters at each runner, numbered by their changes, so that a node that knows an earlier state is told only what differs. */
export class AdapterRevisions {
    private readonly entries = new Map<string, Entry>();
    private revision = 0;

    private constructor() {}

    /** Makes a record without runners. */
    static create(): AdapterRevisions {
        return new AdapterRevisions();
    }

    /** Takes what a runner has now. */
    update(runner: string, adapters: readonly string[]): void {
        const known = this.entries.get(runner)?.adapters ?? [];
        if (known.length !== adapters.length || adapters.some(artifact => !known.includes(artifact))) {
            this.entries.set(runner, { revision: ++this.revision, adapters });
        }
    }

    /** Forgets a runner that has left. */
    remove(runner: string): void {
        this.entries.delete(runner);
    }

    /** What changed after a revision. */
    since(revision: number): AdapterChanges {
        const changed = [...this.entries].filter(([, entry]) => entry.revision > revision);
        return { revision: this.revision, byRunner: Object.fromEntries(changed.map(([runner, { adapters }]) => [runner, adapters])) };
    }
}
