import type { AdapterChanges } from "../types/placement";

interface Entry {
    readonly revision: number;
    readonly adapters: readonly string[];
}

/** The adapters at each runner with a revision for each change, so that a node with an earlier revision is sent only the changes after it. */
export class AdapterRevisions {
    private readonly entries = new Map<string, Entry>();
    private revision = 0;

    private constructor() {}

    static create(): AdapterRevisions {
        return new AdapterRevisions();
    }

    /** Sets the adapters that a runner has now; the revision increases only if they differ. */
    update(runner: string, adapters: readonly string[]): void {
        const known = this.entries.get(runner)?.adapters ?? [];
        if (known.length !== adapters.length || adapters.some(artifact => !known.includes(artifact))) {
            this.entries.set(runner, { revision: ++this.revision, adapters });
        }
    }

    /** Removes a runner that has left the directory. */
    remove(runner: string): void {
        this.entries.delete(runner);
    }

    /** The adapters of all runners that changed after a revision. */
    since(revision: number): AdapterChanges {
        const changed = [...this.entries].filter(([, entry]) => entry.revision > revision);
        return { revision: this.revision, byRunner: Object.fromEntries(changed.map(([runner, { adapters }]) => [runner, adapters])) };
    }
}
