import type { UsageCallResult } from "../types/usageCallResult";

/** Names that are counted apart; further ones share an entry. */
const maxNames = 1_024;
const otherName = "(others)";

const add = (counts: Map<string, number>, name: string, value: number): void => {
    const key = counts.has(name) || counts.size < maxNames ? name : otherName;
    counts.set(key, (counts.get(key) ?? 0) + value);
};

/** Counts the units of customers that this node's requests took, and its calls to the nodes that decide on them. */
export class UsageCounters {
    /** Units by customer. */
    readonly admitted = new Map<string, number>();
    readonly refused = new Map<string, number>();
    readonly returned = new Map<string, number>();
    /** Calls to home nodes and deputies by result. */
    readonly calls = new Map<string, number>();

    private constructor() {}

    static create(): UsageCounters {
        return new UsageCounters();
    }

    onAdmitted(customer: string, units: number): void {
        add(this.admitted, customer, units);
    }

    onRefused(customer: string, units: number): void {
        add(this.refused, customer, units);
    }

    onReturned(customer: string, units: number): void {
        add(this.returned, customer, units);
    }

    onCall(result: UsageCallResult): void {
        add(this.calls, result, 1);
    }
}
