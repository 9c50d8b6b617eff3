/** Which nodes there are, and which backend server runs beside each. */
package org.verbenamast.core.roster;
