/**
 * The operators' table of weights and limits, its approval by both organisations, and the marks that take availability
 * zones and backend servers out of service.
 */
package org.verbenamast.core.table;
