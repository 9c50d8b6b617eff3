package review;

import java.util.List;

/** A steady load of lookups with keys drawn evenly, sent to some nodes. */
final class Lookups {

    private static final int SENDERS_PER_NODE = 6;

    private volatile boolean sending = true;

    Lookups(Deployment fleet, List<Node> nodes) {
        for (Node node : nodes) {
            for (int i = 0; i < SENDERS_PER_NODE; i++) {
                Threads.start(() -> {
                    while (sending) {
                        int key = (int) (Math.random() * Deployment.KEYS);
                        fleet.requester.send(node, "GET", "/stock/" + key, key, 1_200);
                        Threads.sleep(30);
                    }
                });
            }
        }
    }

    void stop() {
        sending = false;
    }
}
