package org.verbenamast.core.keys;

import java.util.Optional;

import org.verbenamast.core.roster.ServerIncarnation;
import org.verbenamast.core.rows.StoredRow;

/**
 * The input of a key lease's events.
 *
 * @param incarnation the server incarnation; empty if the event names none
 * @param lease the row of the lease; empty if it was not read
 * @param version the version of the row after a write; 0 for other events
 */
public record KeyLeaseInput(Optional<ServerIncarnation> incarnation, Optional<StoredRow> lease, long version) {

    static final KeyLeaseInput NONE = new KeyLeaseInput(Optional.empty(), Optional.empty(), 0);

    static KeyLeaseInput server(ServerIncarnation incarnation) {
        return new KeyLeaseInput(Optional.of(incarnation), Optional.empty(), 0);
    }

    static KeyLeaseInput read(StoredRow lease) {
        return new KeyLeaseInput(Optional.empty(), Optional.of(lease), 0);
    }

    static KeyLeaseInput written(long version) {
        return new KeyLeaseInput(Optional.empty(), Optional.empty(), version);
    }
}
