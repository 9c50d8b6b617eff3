package org.verbenamast.core.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

import org.verbenamast.core.model.Address;
import org.verbenamast.core.model.MemberId;
import org.verbenamast.core.model.ServiceName;
import org.verbenamast.core.model.ServiceSettings;
import org.verbenamast.core.model.Zone;
import org.verbenamast.core.node.CoreSettings;
import org.verbenamast.core.node.Timing;
import org.verbenamast.core.ownership.ChunkRow;
import org.verbenamast.core.ownership.GrantOrigin;
import org.verbenamast.core.ownership.SliceGrant;
import org.verbenamast.core.store.Row;

/** Creates the rows and settings of a small test fleet. */
public final class Rows {

    /** A keyed service of eight slices in two chunks. */
    public static final ServiceSettings STOCK = new ServiceSettings(new ServiceName("stock"), true, 8, 4, true);

    private static final Address ADDRESS = new Address("10.0.0.1", 7000);

    private Rows() {}

    /** Returns the id of a numbered member, in its first incarnation. */
    public static MemberId member(int number) {
        return new MemberId("stock-" + number, 1);
    }

    /** Creates the row of a member of the stock service. */
    public static Row memberRow(MemberId id, MemberStatus status, long version) {
        MemberRow row = new MemberRow(
                id, STOCK.name(), new Zone("jkt"), ADDRESS, status, List.of(), "run-1", 10, id + "/member/" + version);
        return new Row(MemberRow.keyOf(id), version, row);
    }

    /** Creates the row of a chunk whose slices all have the same owner. */
    public static Row chunkRow(int chunk, long version, MemberId owner, long epoch) {
        SliceGrant grant = new SliceGrant(owner, epoch, GrantOrigin.CLAIMED);
        List<SliceGrant> grants = new ArrayList<>(Collections.nCopies(STOCK.slicesIn(chunk), grant));
        ChunkRow row = new ChunkRow(STOCK.name(), chunk, grants, "operation-" + version);
        return new Row(ChunkRow.keyOf(STOCK.name(), chunk), version, row);
    }

    /** Creates the settings of a fleet with one service. */
    public static CoreSettings settings(MemberId self, ServiceSettings service, List<Address> seeds) {
        return new CoreSettings(
                self,
                service.name(),
                new Zone("jkt"),
                ADDRESS,
                List.of(service),
                seeds,
                Timing.DEFAULT,
                4,
                self.hashCode());
    }
}
