/** The records of executed non-idempotent requests, which keep a resend from running a second time. */
package org.verbenamast.core.gate.runs;
