package org.verbenamast.relay.store;

import java.util.List;
import java.util.Set;

import org.verbenamast.core.manifest.Manifest;
import org.verbenamast.core.model.Zone;
import org.verbenamast.core.rows.RowRef;
import org.verbenamast.core.rows.StorePurpose;
import org.verbenamast.core.rows.StoreResult;
import org.verbenamast.core.rows.StoredRow;
import org.verbenamast.core.watch.FollowEvent;
import org.verbenamast.core.watch.FollowInput;
import org.verbenamast.core.watch.FollowedTable;

/** Receives the results of calls to the store. */
public interface StoreObserver {

    /**
     * Returns the newest version of a shared row that this node knows.
     *
     * @param ref identifies the row
     * @return the row; one of version 0 without content if none is known
     */
    StoredRow knownRow(RowRef ref);

    /**
     * Handles the result of a call that a decision asked for.
     *
     * @param purpose the purpose of the call
     * @param callId the number of the call
     * @param result the result
     */
    void onStoreResult(StorePurpose purpose, long callId, StoreResult result);

    /**
     * Handles the outcome of a call that follows a table.
     *
     * @param table the table
     * @param callId the number of the call
     * @param event the outcome
     * @param input the versions read and whether rows were received
     */
    void onFollowResult(FollowedTable table, long callId, FollowEvent event, FollowInput input);

    /**
     * Handles changes of the shared rows, which every node follows.
     *
     * @param rows the changed rows
     */
    void onChangedRows(List<StoredRow> rows);

    /**
     * Handles a full read of the shared rows at one version.
     *
     * @param rows all shared rows
     * @param version the version of the store at the time of the read
     */
    void onAllRows(List<StoredRow> rows, long version);

    /**
     * Handles a manifest written by operators.
     *
     * @param manifest the manifest
     */
    void onManifest(Manifest manifest);

    /**
     * Handles a change of the evacuated zones: those that operators have taken out of service.
     *
     * @param zones all evacuated zones
     */
    void onEvacuatedZones(Set<Zone> zones);
}
