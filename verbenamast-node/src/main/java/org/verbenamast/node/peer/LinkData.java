package org.verbenamast.node.peer;

import java.util.Objects;

/**
 * The data of a link to another member.
 *
 * @param link connects, writes and reports
 */
public record LinkData(PeerLink link) {

    /** Checks the link. */
    public LinkData {
        Objects.requireNonNull(link, "link");
    }
}
