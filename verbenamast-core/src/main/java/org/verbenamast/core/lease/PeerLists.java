package org.verbenamast.core.lease;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

import org.verbenamast.core.model.MemberId;

/**
 * The lists of lease peers that may be in force for a holder: the one in its row, and those of its own writes whose
 * outcome it does not know. It needs a majority of each.
 *
 * @param version the version of the row that is known
 * @param committed the list in that row
 * @param proposed the lists in writes that expect that version and may still take effect
 */
public record PeerLists(long version, List<MemberId> committed, List<List<MemberId>> proposed) {

    /** Checks the parts and copies the lists. */
    public PeerLists {
        committed = List.copyOf(committed);
        proposed = List.copyOf(proposed);
    }

    /**
     * Returns the lists after a row was learnt. Writes that expected an earlier version have taken effect as that row
     * or never will.
     *
     * @param laterVersion the row's version
     * @param list the list in the row
     * @return the lists; unchanged where the version is not later
     */
    public PeerLists learnt(long laterVersion, List<MemberId> list) {
        return laterVersion > version ? new PeerLists(laterVersion, list, List.of()) : this;
    }

    /**
     * Returns the lists while a write is under way.
     *
     * @param list the list that is written
     * @return the lists with that one too
     */
    public PeerLists proposing(List<MemberId> list) {
        Objects.requireNonNull(list, "list");
        if (list.equals(committed) || proposed.contains(list)) {
            return this;
        }
        List<List<MemberId>> next = new ArrayList<>(proposed);
        next.add(list);
        return new PeerLists(version, committed, next);
    }

    /**
     * Lists all lists that may be in force.
     *
     * @return the committed list first
     */
    public List<List<MemberId>> inForce() {
        List<List<MemberId>> all = new ArrayList<>();
        all.add(committed);
        all.addAll(proposed);
        return all;
    }
}
