package org.verbenamast.core.keys;

import java.util.Optional;

import org.verbenamast.core.roster.ServerLife;
import org.verbenamast.core.rows.StoredRow;

/**
 * The input of a tenure's events.
 *
 * @param life the run of the server, where the event names one
 * @param lease the row of the lease, where it was read
 * @param version the version that a write gave the row, or 0
 */
public record TenureInput(Optional<ServerLife> life, Optional<StoredRow> lease, long version) {

    static final TenureInput NONE = new TenureInput(Optional.empty(), Optional.empty(), 0);

    static TenureInput server(ServerLife life) {
        return new TenureInput(Optional.of(life), Optional.empty(), 0);
    }

    static TenureInput read(StoredRow lease) {
        return new TenureInput(Optional.empty(), Optional.of(lease), 0);
    }

    static TenureInput written(long version) {
        return new TenureInput(Optional.empty(), Optional.empty(), version);
    }
}
