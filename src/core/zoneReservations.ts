import type { ReservationRow } from "../types/memoryReservation";
import type { Table } from "../types/table";
import { CommitKind } from "../types/table";
import { reservationKey, reservationPrefix } from "./memoryReservations";

interface CachedRow {
    readonly row: ReservationRow;
    readonly version: number;
}

const rowsPerRead = 500;
/** Version that no row has, so that a write on condition of it fails. */
const unknownVersion = -1;

/** The reservation rows of one zone, as the zone controller last read or wrote them. Every write is conditional on the version read. */
export class ZoneReservations {
    private cached = new Map<string, CachedRow>();

    private constructor(private readonly table: Table, private readonly availabilityZone: string) {}

    /** Creates reservations without any rows; `load` reads them. */
    static create(table: Table, availabilityZone: string): ZoneReservations {
        return new ZoneReservations(table, availabilityZone);
    }

    /** Reads all rows of the zone; a new lease holder must do so before it acts. */
    async load(): Promise<void> {
        const loaded = new Map<string, CachedRow>();
        const prefix = `${reservationPrefix}${this.availabilityZone}/`;
        let after: string | undefined;
        for (;;) {
            const rows = await this.table.list(prefix, after, rowsPerRead);
            for (const row of rows) {
                loaded.set(row.key.slice(prefix.length), { row: row.value as ReservationRow, version: row.version });
            }
            after = rows.at(-1)?.key;
            if (rows.length < rowsPerRead) {
                this.cached = loaded;
                return;
            }
        }
    }

    /** The committed row of a runner. */
    get(runner: string): ReservationRow | undefined {
        return this.cached.get(runner)?.row;
    }

    /** All committed rows. */
    rows(): readonly ReservationRow[] {
        return [...this.cached.values()].map(cachedRow => cachedRow.row);
    }

    /** Commits a row; returns false if another process has written it since, whose row is then read. */
    async write(row: ReservationRow): Promise<boolean> {
        const key = reservationKey(this.availabilityZone, row.runner);
        const version = this.cached.get(row.runner)?.version ?? 0;
        try {
            const result = await this.table.commit({ conditions: [{ key, version }], writes: [{ key, value: row }] });
            if (result.kind === CommitKind.Committed) {
                this.cached.set(row.runner, { row, version: result.version });
                return true;
            }
        }
        catch (err) {
            // The write may have taken effect: the row is read again before it is used.
            await this.reread(row.runner).catch(() => this.invalidate(row.runner));
            throw err;
        }
        await this.reread(row.runner);
        return false;
    }

    /** Keeps the known row, so that its drains stay in effect, but makes writes fail until the row has been read again. */
    private invalidate(runner: string): void {
        const cachedRow = this.cached.get(runner);
        if (cachedRow) {
            this.cached.set(runner, { row: cachedRow.row, version: unknownVersion });
        }
    }

    /** Reads the row of a runner again. */
    async reread(runner: string): Promise<void> {
        const found = await this.table.read(reservationKey(this.availabilityZone, runner));
        if (found) {
            this.cached.set(runner, { row: found.value as ReservationRow, version: found.version });
        }
        else {
            this.cached.delete(runner);
        }
    }
}
