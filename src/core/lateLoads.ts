import type { DurableLoads, UnansweredLoad } from "../types/controllerLease";
import type { LoadSize } from "./loadSize";

/** An order whose answer was lost may still be executed this much later. */
const orderLatenessMs = 15_000;

/** The runner's process that a load was sent to, and which order it is. */
export type LoadName = Pick<UnansweredLoad, "runner" | "bornAt" | "order">;

interface SentLoad extends LoadName, LoadSize {
    until: number;
    /** Copies without an answer. */
    openCopies: number;
}

const keyOf = ({ runner, bornAt, order }: LoadName): string => `${runner} ${bornAt} ${order}`;

/**
 * Loads that a runner may still execute because a copy of the order has not been answered. A process of the runner refuses copies that were sent to it before its
 * last accepted order, but one that was started since, under the same ID, executes them if its count of orders matches: what they take up is kept free there. They
 * are kept by the runner's ID, whether or not the runner is in the directory at present, and outlive the controller in its row.
 */
export class LateLoads implements DurableLoads {
    private readonly loads = new Map<string, SentLoad>();

    private constructor(private readonly now: () => number) {}

    static create(now: () => number = () => performance.now()): LateLoads {
        return new LateLoads(now);
    }

    /** Records that a copy of a load is sent. Of several copies of one order at most one is executed. */
    onSent(name: LoadName, { memoryMb, adapterSlots }: LoadSize): LoadName {
        const openCopies = (this.loads.get(keyOf(name))?.openCopies ?? 0) + 1;
        this.set({ ...name, memoryMb, adapterSlots, until: this.now() + orderLatenessMs, openCopies });
        return name;
    }

    /** Records that a copy was executed or refused, or was not sent after all. */
    onAnswered(name: LoadName): void {
        const load = this.loads.get(keyOf(name));
        if (load && --load.openCopies === 0) {
            this.loads.delete(keyOf(name));
        }
    }

    /** What has to be kept free at a process of a runner for loads that were sent to earlier ones. */
    reservedFor(runner: string, bornAt: number): LoadSize {
        const late = this.current().filter(load => load.runner === runner && load.bornAt !== bornAt);
        return {
            memoryMb: late.reduce((sum, { memoryMb }) => sum + memoryMb, 0),
            adapterSlots: late.reduce((sum, { adapterSlots }) => sum + adapterSlots, 0),
        };
    }

    get durable(): readonly UnansweredLoad[] {
        return this.current().map(({ runner, bornAt, order, memoryMb, adapterSlots, until }) => ({
            runner,
            bornAt,
            order,
            memoryMb,
            adapterSlots,
            forMs: until - this.now(),
        }));
    }

    add({ forMs, ...load }: UnansweredLoad): void {
        if (!this.loads.has(keyOf(load))) {
            this.set({ ...load, until: this.now() + Math.min(forMs, orderLatenessMs), openCopies: 1 });
        }
    }

    private set(load: SentLoad): void {
        [...this.loads].filter(([, { until }]) => until <= this.now()).forEach(([key]) => this.loads.delete(key));
        this.loads.set(keyOf(load), load);
    }

    private current(): readonly SentLoad[] {
        return [...this.loads.values()].filter(({ until }) => until > this.now());
    }
}
