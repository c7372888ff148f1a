"""The error of a data folder that can't be written."""


class StorageFailedError(Exception):
    """A write or sync of the data folder was refused.

    After a failed sync the system may drop the pages and report the next
    sync as good, so a retry would acknowledge what is not on the disk: the
    voter takes no part until its folder was written anew.
    """
