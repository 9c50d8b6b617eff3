package org.verbenamast.core.lease;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

import org.verbenamast.core.model.MemberId;

/**
 * The lists of lease peers that may be in force for a lease holder: the list in its row, and the lists in its own
 * writes whose outcome is unknown. The holder needs a majority of each list.
 *
 * @param version the latest version of the row that the holder knows
 * @param committed the list in that row
 * @param proposed the lists in conditional writes that expect that version and may still take effect
 */
public record PeerLists(long version, List<MemberId> committed, List<List<MemberId>> proposed) {

    /** Copies the lists. */
    public PeerLists {
        committed = List.copyOf(committed);
        proposed = List.copyOf(proposed);
    }

    /**
     * Returns the lists after a version of the row was received. Writes that expected an earlier version have either
     * produced that version or never take effect.
     *
     * @param laterVersion the row's version
     * @param list the list in the row
     * @return the lists; unchanged if the version is not later
     */
    public PeerLists withCommitted(long laterVersion, List<MemberId> list) {
        return laterVersion > version ? new PeerLists(laterVersion, list, List.of()) : this;
    }

    /**
     * Returns the lists while a write is in progress.
     *
     * @param list the list that is being written
     * @return the lists, including that one
     */
    public PeerLists withProposed(List<MemberId> list) {
        Objects.requireNonNull(list, "list");
        if (list.equals(committed) || proposed.contains(list)) {
            return this;
        }
        List<List<MemberId>> next = new ArrayList<>(proposed);
        next.add(list);
        return new PeerLists(version, committed, next);
    }

    /**
     * Returns all lists that may be in force.
     *
     * @return the committed list, followed by the proposed ones
     */
    public List<List<MemberId>> inForce() {
        List<List<MemberId>> all = new ArrayList<>();
        all.add(committed);
        all.addAll(proposed);
        return all;
    }
}
