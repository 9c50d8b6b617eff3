package org.verbenamast.core.tenant;

import java.util.List;
import java.util.Objects;

import org.verbenamast.core.check.Checks;

/**
 * A bank's answer to a report.
 *
 * @param bank the name of the node that is the bank
 * @param number the number of the report
 * @param manifestVersion the version of the manifest in force at the bank
 * @param stamp the time of the answer
 * @param tenants the tokens
 */
public record CapGrant(String bank, long number, long manifestVersion, CapStamp stamp, List<Tokens> tenants) {

    /** Checks the fields and copies the list. */
    public CapGrant {
        Checks.notBlank("bank", bank);
        Checks.notNegative("number", number);
        Checks.notNegative("manifestVersion", manifestVersion);
        Objects.requireNonNull(stamp, "stamp");
        tenants = List.copyOf(tenants);
    }

    /**
     * Tokens of a tenant.
     *
     * @param tenant the tenant's name
     * @param amount the number of tokens
     * @param lifeMillis how long they are valid, counted from when the report was sent, in milliseconds
     * @param retryMillis when there will be more, in milliseconds; 0 if all that were wanted are granted
     */
    public record Tokens(String tenant, long amount, long lifeMillis, long retryMillis) {

        /** Returns whether the bank can't tell yet when there will be tokens, because few shares are ceded to it. */
        boolean isUndecided() {
            return amount == 0 && retryMillis == 0;
        }

        /** Checks the fields. */
        public Tokens {
            Checks.notBlank("tenant", tenant);
            Checks.notNegative("amount", amount);
            Checks.notNegative("lifeMillis", lifeMillis);
            Checks.notNegative("retryMillis", retryMillis);
        }
    }
}
