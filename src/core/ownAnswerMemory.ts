import type { MemoryHold } from "../types/memoryHold";
import { MemoryHolder } from "../types/memoryHolder";
import { OwnAnswerKind } from "../types/ownAnswerKind";
import type { MemoryBudget } from "./memoryBudget";

/** Largest part of the memory of the process. */
const maxBudgetShare = 0.1;

/** Part of the memory up to which answers of a kind may grow beyond their equal share: those of runners are given up first, those of the store never. */
const shareOf: Readonly<Record<OwnAnswerKind, number>> = {
    [OwnAnswerKind.Runner]: 0.5,
    [OwnAnswerKind.Peer]: 1,
    [OwnAnswerKind.Store]: Number.POSITIVE_INFINITY,
};

/**
 * Memory for the answers to a node's own questions while they are read, shared by all of them. While it is short, an answer that holds more than an equal share of its
 * kind's part is given up as soon as it grows: endless answers do not cost small sound ones.
 */
export class OwnAnswerMemory {
    private usedBytes = 0;
    private givenUpCount = 0;
    /** Number of answers of each kind that hold some bytes. */
    private readonly holders: Record<OwnAnswerKind, number> = { [OwnAnswerKind.Runner]: 0, [OwnAnswerKind.Peer]: 0, [OwnAnswerKind.Store]: 0 };

    private constructor(private readonly maxBytes: () => number, private readonly budget: MemoryBudget | undefined) {}

    /** Creates a memory of at most the given bytes, which also counts what it holds in the budget of the process. */
    static create(maxBytes: () => number, budget?: MemoryBudget): OwnAnswerMemory {
        return new OwnAnswerMemory(maxBytes, budget);
    }

    /** Bytes that all answers hold together. */
    get used(): number {
        return this.usedBytes;
    }

    /** Answers that were given up for their size or for want of memory, since the start. */
    get givenUp(): number {
        return this.givenUpCount;
    }

    /** Opens the hold of one answer, which is empty. */
    open(kind: OwnAnswerKind): MemoryHold {
        let ownBytes = 0;
        return {
            grow: bytes => {
                this.holders[kind] += ownBytes === 0 && bytes > 0 ? 1 : 0;
                ownBytes += bytes;
                this.change(bytes);
                const partBytes = this.limitBytes * shareOf[kind];
                return this.usedBytes <= partBytes || ownBytes <= partBytes / this.holders[kind];
            },
            giveUp: () => {
                this.givenUpCount++;
            },
            release: () => {
                this.holders[kind] -= ownBytes > 0 ? 1 : 0;
                this.change(-ownBytes);
                ownBytes = 0;
            },
        };
    }

    private get limitBytes(): number {
        return Math.min(this.maxBytes(), this.budget ? maxBudgetShare * this.budget.limitBytes : Number.POSITIVE_INFINITY);
    }

    private change(bytes: number): void {
        this.usedBytes += bytes;
        this.budget?.charge(MemoryHolder.OwnAnswers, bytes);
    }
}
