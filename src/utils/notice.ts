/** Something that is announced once, to any number of listeners. */
export class Notice {
    isGiven = false;
    private readonly listeners = new Set<() => void>();

    private constructor() {}

    static create(): Notice {
        return new Notice();
    }

    give(): void {
        if (!this.isGiven) {
            this.isGiven = true;
            this.listeners.forEach(listener => listener());
            this.listeners.clear();
        }
    }

    /** Calls a listener when the notice is given, at once if it has been. Returns a function that removes the listener. */
    listen(listener: () => void): () => void {
        if (this.isGiven) {
            listener();
        }
        else {
            this.listeners.add(listener);
        }
        return () => void this.listeners.delete(listener);
    }
}
