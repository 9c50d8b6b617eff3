package review;

import java.util.ArrayList;
import java.util.List;

/** A steady load of orders, which may run once each, sent to some nodes. */
final class Orders {

    private final Deployment fleet;
    private final List<Thread> senders = new ArrayList<>();
    private volatile boolean sending = true;

    Orders(Deployment fleet, List<Node> nodes, int sendersPerNode) {
        this.fleet = fleet;
        for (Node node : nodes) {
            for (int i = 0; i < sendersPerNode; i++) {
                senders.add(Threads.start(() -> {
                    while (sending) {
                        fleet.requester.send(node, "POST", "/order/1", -1, 1_500);
                        Threads.sleep(20);
                    }
                }));
            }
        }
    }

    void stop() throws InterruptedException {
        sending = false;
        for (Thread sender : senders) {
            sender.join();
        }
    }

    /** Checks that an instance which has left began no request after a time; returns whether that held. */
    boolean check(Recorder record, Instance leaver, long bound) {
        List<Instance.Run> late =
                leaver.runs.stream().filter(run -> run.at() > bound).toList();
        long lost = late.stream()
                .filter(run -> fleet.requester.results.stream()
                        .anyMatch(each -> each.attempt().equals(run.attempt()) && each.status() != 200))
                .count();
        record.write("%d requests reached %s later than drainMs after the confirmation, that is, after %d",
                late.size(), leaver.id, bound);
        if (!late.isEmpty()) {
            record.write("the first at %d, the last at %d; %d of them were lost when the instance ended",
                    late.get(0).at(), late.get(late.size() - 1).at(), lost);
        }
        record.write(late.isEmpty() ? "DRAIN held" : "DRAIN broken");
        return late.isEmpty();
    }
}
