/** Rows of the platform's store, as the decisions see them. */
package org.verbenamast.core.rows;
