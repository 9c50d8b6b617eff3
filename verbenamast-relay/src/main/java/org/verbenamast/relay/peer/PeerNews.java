package org.verbenamast.relay.peer;

import java.util.Collection;
import java.util.Objects;

import org.verbenamast.core.keys.KeyEffect;
import org.verbenamast.core.model.Address;
import org.verbenamast.core.roster.Member;
import org.verbenamast.core.rows.BroadcastRows;
import org.verbenamast.wire.generated.RelayFrame;
import org.verbenamast.wire.relay.RelayFrames;

/** Tells other nodes what they would learn later in another way; news that gets lost does no harm. */
public final class PeerNews {

    private final PeerPool pool;

    /**
     * Makes a sender.
     *
     * @param pool the connections to other nodes
     */
    public PeerNews(PeerPool pool) {
        this.pool = Objects.requireNonNull(pool, "pool");
    }

    /**
     * Sends a report of busy keys.
     *
     * @param tell the report and who gets it
     */
    public void send(KeyEffect.SendLoadReport tell) {
        send(tell.to().peer(), RelayFrames.heat(tell.report()));
    }

    /**
     * Sends rows to all members but this node.
     *
     * @param spread the rows
     * @param members the members
     * @param self where this node listens
     */
    public void send(BroadcastRows spread, Collection<Member> members, Address self) {
        RelayFrame frame = RelayFrames.rows(spread.rows());
        members.stream()
                .map(Member::peer)
                .distinct()
                .filter(address -> !address.equals(self))
                .forEach(address -> send(address, frame));
    }

    private void send(Address address, RelayFrame frame) {
        pool.take(address)
                .whenResult(link -> {
                    link.send(frame);
                    pool.giveBack(address, link);
                })
                .whenException(e -> pool.drop(address));
    }
}
