/** Time after which a customer's work counts half. It is longer than a request is queued, so that work which was admitted counts until a competing customer's next turn. */
const halfLifeMs = 2_000;
/** Work below this many tokens is forgotten. */
const minTokens = 1;
/** Customers whose work is remembered; beyond this, those with the least are forgotten. */
const maxCustomers = 4_096;

interface Work {
    readonly tokens: number;
    readonly at: number;
}

/**
 * Tokens that each customer had admitted lately, at one runner. Serving the customer with the fewest first gives each of those that compete the same share, and one that
 * asks for less than its share all that it asks for (max-min fairness).
 */
export class CustomerWork {
    private readonly byCustomer = new Map<string, Work>();

    private constructor() {}

    static create(): CustomerWork {
        return new CustomerWork();
    }

    /** Recent work of a customer, in tokens. */
    of(customer: string): number {
        const work = this.byCustomer.get(customer);
        return work === undefined ? 0 : work.tokens * 2 ** ((work.at - performance.now()) / halfLifeMs);
    }

    /** Counts work that was admitted. */
    add(customer: string, tokens: number): void {
        const work = this.of(customer) + tokens;
        this.byCustomer.delete(customer);
        this.byCustomer.set(customer, { tokens: work, at: performance.now() });
        if (this.byCustomer.size > maxCustomers) {
            this.removeLeast();
        }
    }

    private removeLeast(): void {
        const byWork = [...this.byCustomer.keys()].map(customer => ({ customer, tokens: this.of(customer) })).sort((a, b) => b.tokens - a.tokens);
        byWork.filter(({ tokens }, index) => tokens < minTokens || index >= maxCustomers / 2).forEach(({ customer }) => this.byCustomer.delete(customer));
    }
}
