/** Blank line that ends an event. */
const eventEnd = /\r?\n\r?\n/;
const lineEnd = /\r?\n/;
const idLine = /^id: ?(.*?)\r?$/gm;

const idsIn = (events: string): string[] => [...events.matchAll(idLine)].map(match => match[1]!);

/** Whether lines up to a blank one are an event: comments alone are none. */
const isEvent = (block: string): boolean => block.split(lineEnd).some(line => line !== "" && !line.startsWith(":"));

/** Whether complete blocks of a stream hold an event, or only comments. */
export const holdEvent = (blocks: string): boolean => blocks.split(eventEnd).some(isEvent);

const follows = (id: string, previous: string): boolean => {
    const [number, previousNumber] = [Number(id), Number(previous)];
    return Number.isNaN(number) || Number.isNaN(previousNumber) ? id !== previous : number > previousNumber;
};

/**
 * Whether events go on after the event with an ID: their IDs increase from there. The first event of a resumed stream must have one, as text
 * that is no event has none; comments may precede it.
 */
export const goOnAfter = (events: string, lastEventId: string | undefined, isResumption: boolean): boolean => {
    const first = isResumption ? events.split(eventEnd).find(isEvent) : undefined;
    if (first !== undefined && idsIn(`${first}\n`).length === 0) {
        return false;
    }
    let previous = lastEventId;
    for (const id of idsIn(events)) {
        if (previous !== undefined && !follows(id, previous)) {
            return false;
        }
        previous = id;
    }
    return true;
};
