package org.verbenamast.wire.spread;

import java.util.List;

import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.membership.Directory;
import org.verbenamast.core.membership.GossipController;
import org.verbenamast.core.message.PeerMessage;
import org.verbenamast.core.model.Address;
import org.verbenamast.core.model.MemberId;
import org.verbenamast.core.model.ServiceName;
import org.verbenamast.core.model.ServiceSettings;
import org.verbenamast.core.model.Zone;
import org.verbenamast.core.node.CoreSettings;
import org.verbenamast.core.node.Timing;
import org.verbenamast.core.store.Row;

/** The directory of one member with its gossip and nothing else. */
final class SpreadNode {

    static final ServiceSettings STOCK = new ServiceSettings(new ServiceName("stock"), true, 64, 16, true);

    private final MemberId id;
    private final Directory directory = new Directory(List.of(STOCK));
    private final GossipController spread;
    private long bytes;

    SpreadNode(int number) {
        this.id = new MemberId("stock-" + number, (number + 1) * 0x9e3779b97f4a7c15L);
        CoreSettings settings = new CoreSettings(
                id,
                STOCK.name(),
                new Zone("jkt"),
                new Address("10.0.0.1", 7000),
                List.of(STOCK),
                List.of(),
                Timing.DEFAULT,
                0,
                number);
        this.spread = new GossipController(settings, directory, now -> 0);
    }

    MemberId id() {
        return id;
    }

    Directory directory() {
        return directory;
    }

    void write(Row row, long now) {
        directory.apply(row);
        spread.onRow(row, now);
    }

    void take(MemberId from, PeerMessage message, long now, Effects effects) {
        if (message instanceof PeerMessage.DigestOffer offer) {
            spread.onDigestOffer(from, offer, effects);
        } else if (message instanceof PeerMessage.BucketVersions versions) {
            spread.onBucketVersions(from, versions, now, effects);
        } else if (message instanceof PeerMessage.RowRequest request) {
            spread.onRowRequest(from, request, effects);
        } else if (message instanceof PeerMessage.RowPush push) {
            push.rows().forEach(row -> learn(from, row, now, effects));
        }
    }

    private void learn(MemberId from, Row row, long now, Effects effects) {
        if (directory.apply(row)) {
            spread.onRow(row, now);
        } else {
            spread.onRefusedRow(from, row, effects);
        }
    }

    void advance(long now, Effects effects) {
        spread.advance(now, effects);
    }

    long nextDue() {
        return spread.nextDue();
    }

    void count(int sent) {
        bytes += sent;
    }

    long bytes() {
        return bytes;
    }
}
