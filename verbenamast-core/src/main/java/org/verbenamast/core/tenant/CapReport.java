package org.verbenamast.core.tenant;

import java.util.List;
import java.util.Objects;

import org.verbenamast.core.check.Checks;

/**
 * What a node tells the bank: the share that it cedes and the tokens that it wants.
 *
 * @param node the name of the node
 * @param number the number of the report, higher than that of the node's reports before
 * @param manifestVersion the version of the manifest in force at the node
 * @param members the number of members that the node knows; its share of each cap is one part of as many
 * @param echo the last stamp of the bank, which makes the report a cession; {@link CapStamp#NONE} if nothing is ceded
 * @param echoAgeMillis time since the stamp was received, in milliseconds
 * @param demands the demand for tokens
 */
public record CapReport(
        String node,
        long number,
        long manifestVersion,
        int members,
        CapStamp echo,
        long echoAgeMillis,
        List<Demand> demands) {

    /** Checks the fields and copies the list. */
    public CapReport {
        Checks.notBlank("node", node);
        Checks.notNegative("number", number);
        Checks.notNegative("manifestVersion", manifestVersion);
        Checks.positive("members", members);
        Objects.requireNonNull(echo, "echo");
        Checks.notNegative("echoAgeMillis", echoAgeMillis);
        demands = List.copyOf(demands);
    }

    /** Returns the report as one that cedes the node's share. */
    CapReport ceding(CapStamp stamp, long ageMillis) {
        return new CapReport(node, number, manifestVersion, members, stamp, ageMillis, demands);
    }

    /**
     * The demand for tokens of a tenant.
     *
     * @param tenant the tenant's name
     * @param waiting the number of requests that wait for a token
     * @param advance the number of tokens that are wanted for requests to come
     * @param perSecond the requests that come to the node, in requests per second
     */
    public record Demand(String tenant, long waiting, long advance, double perSecond) {

        /** Checks the fields. */
        public Demand {
            Checks.notBlank("tenant", tenant);
            Checks.notNegative("waiting", waiting);
            Checks.notNegative("advance", advance);
            Checks.finiteNotNegative("perSecond", perSecond);
        }
    }
}
