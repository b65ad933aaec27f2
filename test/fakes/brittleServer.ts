interface ServerTerms {
    readonly slots: number;
    readonly maxRejectionsPerS: number;
}

/** What became of a request. */
type Result = "served" | "rejected" | "lost";

const linkMs = 1;
const contactMs = 3_000;
const wordAtMs = 2_000;
const backAfterMs = 3_000;
const rejectionWindowMs = 1_000;

/** A server that queues as many requests as it has slots, none once its brittle time has begun, and falls if it rejects too many in a second. */
export class BrittleServer {
    falls = 0;
    /** Most rejections in a second, once it could fall. */
    mostRejections = 0;
    private running = 0;
    private waiting: (() => void)[] = [];
    private rejectedAt: number[] = [];
    private starts = 1;
    private downUntil = 0;

    private constructor(private readonly id: string, private readonly terms: ServerTerms, private readonly now: () => number) {}

    static create(id: string, terms: ServerTerms, now: () => number): BrittleServer {
        return new BrittleServer(id, terms, now);
    }

    /** Identifies the process. */
    get key(): string {
        return `${this.id}@${this.starts}`;
    }

    async run(runMs: number): Promise<Result> {
        await new Promise(resolve => setTimeout(resolve, linkMs));
        const { starts } = this;
        if (this.now() < this.downUntil) {
            return "lost";
        }
        if (this.running >= this.terms.slots) {
            if (this.waiting.length >= this.queueLength) {
                this.reject();
                return "rejected";
            }
            await new Promise<void>(resolve => this.waiting.push(resolve));
        }
        if (this.starts !== starts) {
            return "lost";
        }
        this.running++;
        await new Promise(resolve => setTimeout(resolve, runMs));
        if (this.starts !== starts) {
            return "lost";
        }
        this.running--;
        this.waiting.shift()?.();
        await new Promise(resolve => setTimeout(resolve, linkMs));
        return "served";
    }

    private get isShrunk(): boolean {
        return this.now() >= wordAtMs + contactMs;
    }

    private get queueLength(): number {
        return this.isShrunk ? 0 : this.terms.slots;
    }

    private reject(): void {
        const now = this.now();
        this.rejectedAt = [...this.rejectedAt.filter(at => at > now - rejectionWindowMs), now];
        if (!this.isShrunk) {
            return;
        }
        this.mostRejections = Math.max(this.mostRejections, this.rejectedAt.filter(at => at >= wordAtMs + contactMs).length);
        if (this.rejectedAt.length > this.terms.maxRejectionsPerS) {
            this.falls++;
            this.end();
        }
    }

    /** Ends its process; the next one starts after a while. */
    end(): void {
        this.starts++;
        this.running = 0;
        this.rejectedAt = [];
        this.downUntil = this.now() + backAfterMs;
        this.waiting.splice(0).forEach(resolve => resolve());
    }
}
