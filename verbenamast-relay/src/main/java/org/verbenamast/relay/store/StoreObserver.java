package org.verbenamast.relay.store;

import java.util.List;
import java.util.Set;

import org.verbenamast.core.manifest.Manifest;
import org.verbenamast.core.model.Zone;
import org.verbenamast.core.rows.StorePurpose;
import org.verbenamast.core.rows.StoreResult;
import org.verbenamast.core.rows.StoredRow;
import org.verbenamast.core.watch.FollowEvent;
import org.verbenamast.core.watch.FollowInput;
import org.verbenamast.core.watch.FollowedTable;

/** Is told what the store answered. */
public interface StoreObserver {

    /**
     * Takes the result of a call that a decision asked for.
     *
     * @param purpose who called
     * @param ticket the call's number
     * @param result the result
     */
    void stored(StorePurpose purpose, long ticket, StoreResult result);

    /**
     * Takes what became of a call that follows a table.
     *
     * @param table the table
     * @param ticket the call's number
     * @param event what became of it
     * @param input the version and whether rows came
     */
    void followed(FollowedTable table, long ticket, FollowEvent event, FollowInput input);

    /**
     * Takes shared rows that have changed.
     *
     * @param rows the rows
     */
    void changed(List<StoredRow> rows);

    /**
     * Takes all shared rows at one moment.
     *
     * @param rows the rows
     * @param version the store's version at that moment
     */
    void readAll(List<StoredRow> rows, long version);

    /**
     * Takes a manifest that operators wrote.
     *
     * @param manifest the manifest
     */
    void manifest(Manifest manifest);

    /**
     * Takes the availability zones that operators have taken out.
     *
     * @param zones all of them
     */
    void zonesOut(Set<Zone> zones);
}
