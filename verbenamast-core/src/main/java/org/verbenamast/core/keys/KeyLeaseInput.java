package org.verbenamast.core.keys;

import java.util.Optional;

import org.verbenamast.core.roster.ServerIncarnation;
import org.verbenamast.core.rows.StoredRow;

/**
 * The input of a tenure's events.
 *
 * @param life the run of the server, where the event names one
 * @param lease the row of the lease, where it was read
 * @param version the version that a write gave the row, or 0
 */
public record KeyLeaseInput(Optional<ServerIncarnation> life, Optional<StoredRow> lease, long version) {

    static final KeyLeaseInput NONE = new KeyLeaseInput(Optional.empty(), Optional.empty(), 0);

    static KeyLeaseInput server(ServerIncarnation life) {
        return new KeyLeaseInput(Optional.of(life), Optional.empty(), 0);
    }

    static KeyLeaseInput read(StoredRow lease) {
        return new KeyLeaseInput(Optional.empty(), Optional.of(lease), 0);
    }

    static KeyLeaseInput written(long version) {
        return new KeyLeaseInput(Optional.empty(), Optional.empty(), version);
    }
}
