/** When a second attempt of a request is opened because the first one is slow; used by every front end. */
package org.verbenamast.core.hedge;
