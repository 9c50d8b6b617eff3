package org.verbenamast.core.fleet;

import java.util.List;

import org.verbenamast.core.model.Address;
import org.verbenamast.core.model.MemberId;
import org.verbenamast.core.model.ServiceName;
import org.verbenamast.core.model.ServiceSettings;
import org.verbenamast.core.model.Zone;
import org.verbenamast.core.node.CoreSettings;
import org.verbenamast.core.node.Timing;

/** Creates the settings of the nodes of a virtual fleet. */
final class Fleets {

    static final ServiceName SERVICE = new ServiceName("stock");
    static final Timing TIMING = new Timing(1_500, 400, 500, 100, 300, 10, 10_000);
    private static final int ZONES = 3;

    private Fleets() {}

    static ServiceSettings service(int slices) {
        return new ServiceSettings(SERVICE, true, slices, slices, true);
    }

    static CoreSettings settings(int index, long incarnation, int slices) {
        return new CoreSettings(
                new MemberId("node-" + index, incarnation),
                SERVICE,
                new Zone("zone-" + index % ZONES),
                new Address("127.0.0.1", 7_000 + index),
                List.of(service(slices)),
                List.of(),
                TIMING,
                16,
                incarnation);
    }
}
