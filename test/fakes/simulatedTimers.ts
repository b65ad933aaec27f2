interface Timer {
    readonly at: number;
    readonly run: () => void;
}

/** Timers in the order in which they are due. */
export class SimulatedTimers {
    private readonly heap: Timer[] = [];

    /** Adds what is due at a time. */
    add(at: number, run: () => void): void {
        const { heap } = this;
        heap.push({ at, run });
        for (let index = heap.length - 1; index > 0;) {
            const parent = (index - 1) >> 1;
            if (heap[parent]!.at <= heap[index]!.at) {
                break;
            }
            [heap[parent], heap[index]] = [heap[index]!, heap[parent]!];
            index = parent;
        }
    }

    /** Takes the first one. */
    next(): Timer | undefined {
        const { heap } = this;
        const first = heap[0];
        const last = heap.pop();
        if (last && heap.length > 0) {
            heap[0] = last;
            for (let index = 0;;) {
                const [left, right] = [2 * index + 1, 2 * index + 2];
                const child = right < heap.length && heap[right]!.at < heap[left]!.at ? right : left;
                if (child >= heap.length || heap[index]!.at <= heap[child]!.at) {
                    break;
                }
                [heap[child], heap[index]] = [heap[index]!, heap[child]!];
                index = child;
            }
        }
        return first;
    }
}
