import type { ReservationRow } from "../types/memoryReservation";
import type { Table } from "../types/table";
import { CommitKind } from "../types/table";
import { reservationKey, reservationPrefix } from "./memoryReservations";

interface Held {
    readonly row: ReservationRow;
    readonly version: number;
}

const rowsPerRead = 500;
/** No row has this version. */
const unknownVersion = -1;

/** The ledger rows of one zone as a steward last read or wrote them. Every write is conditional on the version read. */
export class ZoneReservations {
    private held = new Map<string, Held>();

    private constructor(private readonly table: Table, private readonly availabilityZone: string) {}

    /** Makes a book that has read nothing. */
    static create(table: Table, availabilityZone: string): ZoneReservations {
        return new ZoneReservations(table, availabilityZone);
    }

    /** Reads all rows of the zone, as a new holder of the stewardship must. */
    async load(): Promise<void> {
        const held = new Map<string, Held>();
        const prefix = `${reservationPrefix}${this.availabilityZone}/`;
        let after: string | undefined;
        for (;;) {
            const rows = await this.table.list(prefix, after, rowsPerRead);
            for (const row of rows) {
                held.set(row.key.slice(prefix.length), { row: row.value as ReservationRow, version: row.version });
            }
            after = rows.at(-1)?.key;
            if (rows.length < rowsPerRead) {
                this.held = held;
                return;
            }
        }
    }

    /** The committed row of a runner. */
    get(runner: string): ReservationRow | undefined {
        return this.held.get(runner)?.row;
    }

    /** All committed rows. */
    rows(): readonly ReservationRow[] {
        return [...this.held.values()].map(held => held.row);
    }

    /** Commits a row; false where another holder has written it since, whose row is then read. */
    async write(row: ReservationRow): Promise<boolean> {
        const key = reservationKey(this.availabilityZone, row.runner);
        const version = this.held.get(row.runner)?.version ?? 0;
        try {
            const result = await this.table.commit({ conditions: [{ key, version }], writes: [{ key, value: row }] });
            if (result.kind === CommitKind.Committed) {
                this.held.set(row.runner, { row, version: result.version });
                return true;
            }
        }
        catch (err) {
            // The write may have taken effect: the row is read again before anything follows from it.
            await this.reread(row.runner).catch(() => this.distrust(row.runner));
            throw err;
        }
        await this.reread(row.runner);
        return false;
    }

    /** Keeps what is known of a row, so that its drains stay, but lets no write pass before the row has been read again. */
    private distrust(runner: string): void {
        const held = this.held.get(runner);
        if (held) {
            this.held.set(runner, { row: held.row, version: unknownVersion });
        }
    }

    /** Reads the row of a runner again. */
    async reread(runner: string): Promise<void> {
        const found = await this.table.read(reservationKey(this.availabilityZone, runner));
        if (found) {
            this.held.set(runner, { row: found.value as ReservationRow, version: found.version });
        }
        else {
            this.held.delete(runner);
        }
    }
}
